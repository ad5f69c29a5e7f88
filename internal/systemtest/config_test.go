package systemtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

// TestRefusedChanges guards against refused changes that are reported
// incompletely or missing from the audit trail. One change loses a race against
// another operator and one has validation faults. The test also checks the audit
// record of a lifted quarantine.
func TestRefusedChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, twoRegions())
	operators := []string{"ana", "rui"}
	for _, name := range operators {
		s.write("token-"+name, name+"-token")
		hash := document.Digest([]byte(name + "-token"))
		s.doc.Operators = append(s.doc.Operators, document.Operator{Name: name, TokenSHA256: hash})
	}
	is.Equal(s.apply(s.doc), 0)
	base := s.status().Version

	var codes [2]int
	var outs [2]string
	var wg sync.WaitGroup
	for n, name := range operators {
		wg.Go(func() {
			codes[n], outs[n] = s.submit(n+1, base, "of-"+name, name, "-token-file", filepath.Join(s.dir, "token-"+name))
		})
	}
	wg.Wait()
	is.Equal(codes[0]+codes[1], 1) // one is accepted (0), the other refused (1)
	winner, loser := 0, 1
	if codes[0] != 0 {
		winner, loser = 1, 0
	}
	digest := s.status().Digest
	for _, part := range []string{
		"conflict: ", fmt.Sprintf("version %d", base+1), digest[:12], "made by " + operators[winner], "nothing was changed",
	} {
		is.True(strings.Contains(outs[loser], part)) // part
	}

	faulty := *s.doc
	faulty.Places = append([]document.Place(nil), faulty.Places...)
	faulty.Places[1].Region = "nowhere"
	faulty.Drains = []document.Drain{{Place: "atlantis", Reason: "trial"}}
	text, err := document.Marshal(&faulty)
	is.NoErr(err)
	code, out := s.ctl("apply", s.write("faulty.yaml", string(text)))
	is.Equal(code, 1)
	for _, fault := range document.FaultsOf(text) { // the client reports all of them
		is.True(strings.Contains(out, "faulty.yaml: "+fault.String()+"\n")) // fault
	}
	is.True(strings.Contains(out, "places[1].region: "))
	is.True(strings.Contains(out, "drains[0].place: "))
	is.Equal(s.put(base+1, "faulty", string(text)), http.StatusUnprocessableEntity) // sent without the client, which validates too

	fingerprint := document.Digest([]byte("a request"))
	code, _ = s.ctl("lift", "-change-id", "lift", fingerprint)
	is.Equal(code, 0)

	code, out = s.ctl("audit", "-o", "json")
	is.Equal(code, 0)
	var trail []port.AuditRecord
	is.NoErr(json.Unmarshal([]byte(out), &trail))
	got := make(map[string]string)
	for _, a := range trail {
		got[a.ChangeID] = fmt.Sprint(a.Operator, " ", a.State, " ", a.From, " ", a.To, " ", !a.Time.IsZero())
	}
	is.Equal(got["of-"+operators[winner]], fmt.Sprint(operators[winner], " accepted ", base, " ", base+1, " true"))
	is.Equal(got["of-"+operators[loser]], fmt.Sprint(operators[loser], " conflict ", base, " ", base+1, " true"))
	is.Equal(got["faulty"], fmt.Sprint("tester invalid ", base+1, " ", base+1, " true"))
	is.Equal(got["lift"], fmt.Sprint("tester lifted ", base+1, " ", base+1, " true"))
	is.Equal(trail[len(trail)-1].Digest, fingerprint)
}

// put sends a document to a control VM without the client and returns the HTTP
// status code.
func (s *system) put(base uint64, changeID, text string) int {
	target := fmt.Sprintf("%s/v1/document?base=%d", s.controlURL(1), base)
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPut, target, strings.NewReader(text))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Change-Id", changeID)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}
