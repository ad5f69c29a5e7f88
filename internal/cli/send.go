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
	"sassafrasreach/internal/port"
)

// secondTryPart is the part of a safe request's time, as a divisor, after which
// it is sent again over a new connection.
const secondTryPart = 2

// reply is what came back of one try.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends the request. A safe one (RFC 9110, section 9.2.1) that isn't
// answered in half its time goes out again over a new connection, since the
// first may have gone silent; the first whole answer counts.
func send(ctx context.Context, o callOptions, entry port.LookupEntry, place string) reply {
	replies := make(chan reply, 2)
	try := func(client *http.Client) { replies <- sendOnce(ctx, client, o, entry, place) }
	go try(http.DefaultClient)
	if !safe(o) {
		return <-replies
	}
	late := time.NewTimer(o.timeout / secondTryPart)
	defer late.Stop()
	select {
	case r := <-replies:
		return r
	case <-late.C:
	}
	go try(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	r := <-replies
	if r.err != nil {
		r = <-replies
	}
	return r
}

// safe says whether the request may be sent twice.
func safe(o callOptions) bool {
	return o.key == "" && (o.method == http.MethodGet || o.method == http.MethodHead)
}

// sendOnce makes one try and reads its answer whole.
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
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{err: fmt.Errorf("truncated answer: %w", err)}
	}
	return reply{status: response.StatusCode, header: response.Header, body: body}
}
