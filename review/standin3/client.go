package main

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"strings"
	"time"
)

var client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}

// ask sends one request to a gateway and returns the status of the answer; 0 without a whole
// answer.
func ask(address, method, path, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Attempt-Id", rand.Text())
	request.Header.Set("Deadline-Ms", "4000")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
