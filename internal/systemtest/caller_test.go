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

// callTimeout is the time that a caller gives a request.
const callTimeout = 2 * time.Second

// result is what a caller learned of one request.
type result struct {
	status  int
	verdict string
	reason  string
	body    string
	err     error // the connection to the entry failed
	took    time.Duration
}

// whole says whether the caller has the whole answer to its own request.
func (r result) whole(body string) bool {
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

// client has no connections from before, as a caller that is careful.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout + 500*time.Millisecond}
}

// lookupAt asks one entry.
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

// lookup asks the entries of the place in turn, first the one that answered
// last, and at last those of other places.
func (s *system) lookup(place string) (answer port.LookupAnswer, err error) {
	s.mu.Lock()
	entries := append([]string{s.good[place]}, s.entriesOf(place)...)
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
			s.good[place] = entry
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

// get looks up and sends an idempotent request; entries that can't be reached
// are passed over, as a caller does.
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

// post looks up, and sends a once-only request to the first entry.
func (s *system) post(place, body string) (key string, r result) {
	answer, err := s.lookup(place)
	if err != nil {
		return "", result{err: err}
	}
	key = answer.Home + "." + strings.ReplaceAll(body, "/", "")
	return key, s.send(answer.Entries[0].Address, place, http.MethodPost, key, body)
}
