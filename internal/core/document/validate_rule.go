package document

import (
	"encoding/hex"
	"fmt"
	"strings"
)

func (v *validator) rules() {
	names := make(map[string]string)
	shifts := make(map[string]string)
	for i := range v.doc.Rules {
		r := &v.doc.Rules[i]
		path := fmt.Sprintf("rules[%d]", i)
		v.name(path+".name", r.Name, names)
		if r.Service != "" && v.service[r.Service] == nil {
			v.fault(path+".service", "no service is named %q", r.Service)
		}
		from := v.endRegion(path+".from", r.From)
		to := v.endRegion(path+".to", r.To)
		if r.From == r.To {
			v.fault(path+".to", "%q is also from; a rule must connect two different places or regions", r.To)
		}
		v.unique(path, strings.TrimSpace(r.Service+" from "+r.From+" to "+r.To), shifts)
		v.between(path+".requests_per_s", int64(r.RequestsPerS), 1, MaxRequestsPerS)
		v.duration(path+".ramp", r.Ramp, 0, Duration(MaxRamp))
		v.shares(path, r)
		if from != "" && to != "" && from != to {
			v.checkLinks(path, r, from, to)
		}
	}
}

// endRegion returns the region of a rule's end, which names a place or a region. It
// reports a name that is neither and returns an empty text then, and also for a
// place in an unknown region, which is reported at the place.
func (v *validator) endRegion(path, name string) string {
	if v.region[name] {
		return name
	}
	if region, ok := v.regionOf[name]; ok {
		if !v.region[region] {
			return ""
		}
		return region
	}
	v.fault(path, "no place or region is named %q; it must be listed in places or regions", name)
	return ""
}

// shares reports shares of unknown entries and of entries outside the destination,
// duplicates, percentages out of bounds, and shares that don't add up to 100.
func (v *validator) shares(path string, r *Rule) {
	if len(r.Shares) == 0 {
		return
	}
	sum := 0
	seen := make(map[string]string)
	for j, share := range r.Shares {
		at := fmt.Sprintf("%s.shares[%d]", path, j)
		place, ok := v.entryIn[share.Entry]
		switch {
		case !ok:
			v.fault(at+".entry", "no entry is named %q; it must be listed in the entries of a place", share.Entry)
		case place != r.To && v.regionOf[place] != r.To:
			v.fault(at+".entry", "%q isn't an entry of %q, the destination of the rule", share.Entry, r.To)
		default:
			v.unique(at+".entry", share.Entry, seen)
		}
		v.between(at+".percent", int64(share.Percent), 1, 100)
		sum += share.Percent
	}
	if sum != 100 {
		v.fault(path+".shares", "the shares add up to %d percent; they must add up to 100", sum)
	}
}

// checkLinks reports a cap that needs more than the usable bandwidth of the links
// between two regions: requests use the link to the destination, answers the one
// back. The caps of several rules may together need more than a link has; the
// link's budget bounds their traffic.
func (v *validator) checkLinks(path string, r *Rule, from, to string) {
	requestBytes, answerBytes := v.messageSizes(r)
	v.checkLink(path, r, requestBytes, from, to)
	v.checkLink(path, r, answerBytes, to, from)
}

// checkLink reports a cap that needs more than the usable bandwidth of one link, or
// a missing link.
func (v *validator) checkLink(path string, r *Rule, bytes int64, from, to string) {
	link := v.link[[2]string{from, to}]
	if link == nil {
		v.fault(path+".to", "there is no link from region %q to region %q; a rule between regions needs one in each direction", from, to)
		return
	}
	need := mbitPerS(r.RequestsPerS, bytes)
	if usable := link.UsableMbitPerS(); need > usable {
		v.fault(path+".requests_per_s", "%d requests/s of %d bytes need %.1f Mbit/s, but steering may use %.1f Mbit/s of the link from %q to %q",
			r.RequestsPerS, bytes, need, usable, from, to)
	}
}

// messageSizes returns the expected bytes of a request and of an answer that the
// rule moves: those of its service, or else the largest of all services.
func (v *validator) messageSizes(r *Rule) (request, answer int64) {
	if s := v.service[r.Service]; s != nil {
		return s.RequestBytes, s.AnswerBytes
	}
	for i := range v.doc.Services {
		request = max(request, v.doc.Services[i].RequestBytes)
		answer = max(answer, v.doc.Services[i].AnswerBytes)
	}
	return request, answer
}

// UsableMbitPerS returns the megabits per second of the link that steering may
// use.
func (l *Link) UsableMbitPerS() float64 {
	return float64(l.MbitPerS) * float64(l.FillPercent) / 100
}

func (v *validator) drains() {
	seen := make(map[string]string)
	for i, drain := range v.doc.Drains {
		path := fmt.Sprintf("drains[%d]", i)
		known := v.knownPlace(path+".place", drain.Place)
		if drain.Service != "" && v.service[drain.Service] == nil {
			v.fault(path+".service", "no service is named %q", drain.Service)
		} else if known && drain.Service != "" && !v.serves[[2]string{drain.Service, drain.Place}] {
			v.fault(path+".service", "service %q isn't in place %q; only a place that the service lists can be drained for it", drain.Service, drain.Place)
		}
		if drain.Reason == "" || len(drain.Reason) > MaxReasonBytes {
			v.fault(path+".reason", "a reason of 1 to %d bytes is needed, got %d bytes", MaxReasonBytes, len(drain.Reason))
		}
		v.unique(path, strings.TrimSpace(drain.Place+" "+drain.Service), seen)
	}
	v.drainedServices()
}

// drainedServices reports services all of whose places are drained, at the drain
// that excludes the last of them.
func (v *validator) drainedServices() {
	last := make(map[[2]string]int, len(v.doc.Drains))
	for i, drain := range v.doc.Drains {
		last[[2]string{drain.Service, drain.Place}] = i
	}
	for k := range v.doc.Services {
		s := &v.doc.Services[k]
		at := -1
		for _, place := range s.Places {
			all, ok := last[[2]string{"", place}]
			one, okOne := last[[2]string{s.Name, place}]
			if !ok && !okOne {
				at = -1
				break
			}
			if !ok || (okOne && one < all) {
				all = one
			}
			at = max(at, all)
		}
		if at >= 0 {
			v.fault(fmt.Sprintf("drains[%d].place", at), "the drains leave service %q without any place; at least one must not be drained", s.Name)
		}
	}
}

func (v *validator) operators() {
	if len(v.doc.Operators) == 0 {
		v.fault("operators", "at least one operator is needed, or nobody could change the document again")
	}
	names := make(map[string]string)
	hashes := make(map[string]string)
	for i, o := range v.doc.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		v.name(path+".name", o.Name, names)
		if !ValidTokenHash(o.TokenSHA256) {
			v.fault(path+".token_sha256", "the lower-case hex SHA-256 (64 digits) of a token that isn't empty is needed")
			continue
		}
		v.unique(path+".token_sha256", o.TokenSHA256, hashes)
	}
}

// sha256HexBytes is the number of hex digits of a SHA-256.
const sha256HexBytes = 64

// ValidTokenHash says whether text is the lower-case hex SHA-256 of a token that
// isn't empty.
func ValidTokenHash(text string) bool {
	_, err := hex.DecodeString(text)
	return err == nil && len(text) == sha256HexBytes && text == strings.ToLower(text) && text != Digest(nil)
}
