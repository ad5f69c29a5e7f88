package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"sassafrasreach/internal/adapter/callerhttp"
	"sassafrasreach/internal/adapter/httpstatus"
	"sassafrasreach/internal/port"
)

// resendDivisor sets when a safe request without a response is sent again over a
// new connection: after its timeout divided by resendDivisor.
const resendDivisor = 2

// maxReplyBytes is the maximum size of a response.
const maxReplyBytes = 64 << 20

// reply is the response to one attempt, or its error.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends the request. A safe one (RFC 9110, section 9.2.1) that has no response
// after half its timeout is sent again over a new connection, since the first
// connection may be unresponsive. The first complete response is returned.
func send(ctx context.Context, o callOptions, entry port.LookupEntry, place string) reply {
	replies := make(chan reply, 2)
	attempt := func(client *http.Client) { replies <- sendOnce(ctx, client, o, entry, place) }
	go attempt(callerClient)
	if !safe(o) {
		return <-replies
	}
	resendTimer := time.NewTimer(o.timeout / resendDivisor)
	defer resendTimer.Stop()
	select {
	case r := <-replies:
		return r
	case <-resendTimer.C:
	}
	go attempt(httpstatus.NewClient(&http.Transport{DisableKeepAlives: true}))
	r := <-replies
	if r.err != nil {
		r = <-replies
	}
	return r
}

// safe reports whether the request may be sent twice.
func safe(o callOptions) bool {
	return o.key == "" && (o.method == http.MethodGet || o.method == http.MethodHead)
}

// sendOnce sends the request once and reads the whole response.
func sendOnce(ctx context.Context, client *http.Client, o callOptions, entry port.LookupEntry, place string) reply {
	target := "http://" + entry.Address + "/s/" + o.service + o.target
	request, err := http.NewRequestWithContext(ctx, o.method, target, bytes.NewReader([]byte(o.body)))
	if err != nil {
		return reply{err: err}
	}
	left := o.timeout
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	request.Header.Set(callerhttp.HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	request.Header.Set(callerhttp.HeaderPlace, place)
	if o.key != "" {
		request.Header.Set(callerhttp.HeaderKey, o.key)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	switch {
	case err != nil:
		return reply{err: fmt.Errorf("the response was truncated: %w", err)}
	case len(body) > maxReplyBytes:
		return reply{err: fmt.Errorf("the response has more than %d bytes", maxReplyBytes)}
	}
	return reply{status: response.StatusCode, header: response.Header, body: body}
}
