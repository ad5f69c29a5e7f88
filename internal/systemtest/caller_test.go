package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/port"
)

// callTimeout is the usual timeout of a request.
const callTimeout = 2 * time.Second

// result is the outcome of one request at its caller.
type result struct {
	status  int
	verdict string
	reason  string
	body    string
	err     error // the connection to the entry failed
	took    time.Duration
}

// complete reports whether the caller received the complete answer to its own
// request.
func (r result) complete(body string) bool {
	return r.err == nil && r.status == 200 && strings.HasPrefix(r.body, body)
}

var uniqueID atomic.Int64

func (s *system) unique(prefix string) string {
	return fmt.Sprintf("%s-%d", prefix, uniqueID.Add(1))
}

// entriesOf lists the callers' addresses of a place's entries.
func (s *system) entriesOf(place string) []string {
	var addresses []string
	for _, entry := range s.doc.PlaceByName(place).Entries {
		addresses = append(addresses, entry.Caller)
	}
	return addresses
}

// client returns an HTTP client without connection reuse, so that no request
// uses a connection that a fault has silenced.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout + 500*time.Millisecond}
}

// lookupAt sends a look-up to one entry, with a timeout of 500 ms.
func (s *system) lookupAt(entry, place string) (port.LookupAnswer, error) {
	var answer port.LookupAnswer
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	query := url.Values{"service": {service}, "place": {place}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/lookup?"+query.Encode(), nil)
	if err != nil {
		return answer, err
	}
	response, err := client().Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("look-up: %s", response.Status)
	}
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// lookup sends a look-up to one entry after the other until one answers: first
// the entry that answered last, then those of the place, then those of all
// places.
func (s *system) lookup(place string) (answer port.LookupAnswer, err error) {
	s.mu.Lock()
	entries := append([]string{s.lastEntry[place]}, s.entriesOf(place)...)
	s.mu.Unlock()
	for i := range s.doc.Places {
		entries = append(entries, s.entriesOf(s.doc.Places[i].Name)...)
	}
	for _, entry := range entries {
		if entry == "" {
			continue
		}
		answer, err = s.lookupAt(entry, place)
		if err == nil {
			s.mu.Lock()
			s.lastEntry[place] = entry
			s.mu.Unlock()
			return answer, nil
		}
	}
	return answer, err
}

// send sends one request to one entry.
func (s *system) send(entry, place, method, key, body string) result {
	return s.sendWithin(entry, place, method, key, body, callTimeout)
}

func (s *system) sendWithin(entry, place, method, key, body string, timeout time.Duration) result {
	begun := time.Now()
	target := "http://" + entry + "/s/" + service + "/x"
	request, err := http.NewRequest(method, target, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	request.Header.Set("Sassafrasreach-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	request.Header.Set("Sassafrasreach-Place", place)
	request.Header.Set("X-Caller-Place", place) // forwarded to the endpoint
	if key != "" {
		request.Header.Set("Sassafrasreach-Key", key)
	}
	response, err := client().Do(request)
	if err != nil {
		return result{err: err, took: time.Since(begun)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	r := result{
		status:  response.StatusCode,
		verdict: response.Header.Get("Sassafrasreach-Verdict"),
		body:    string(text),
		err:     err,
		took:    time.Since(begun),
	}
	var problem struct{ Title string }
	if response.Header.Get("Content-Type") == "application/problem+json" {
		_ = json.Unmarshal(text, &problem)
		r.reason = problem.Title
	}
	return r
}

// get looks up the entries and sends an idempotent request to the first of them.
// If the connection to it fails, get tries the second one, as a caller does.
func (s *system) get(place, body string) result {
	answer, err := s.lookup(place)
	if err != nil {
		return result{err: err}
	}
	r := result{err: fmt.Errorf("no entry named")}
	for _, entry := range answer.Entries[:min(2, len(answer.Entries))] {
		r = s.send(entry.Address, place, http.MethodGet, "", body)
		if r.err == nil {
			return r
		}
	}
	return r
}

// post looks up the entries and sends a once-only request with a new key to the
// first of them.
func (s *system) post(place, body string) (key string, r result) {
	answer, err := s.lookup(place)
	if err != nil {
		return "", result{err: err}
	}
	key = answer.KeyPrefix + "." + strings.ReplaceAll(body, "/", "")
	return key, s.send(answer.Entries[0].Address, place, http.MethodPost, key, body)
}
