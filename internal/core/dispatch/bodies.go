package dispatch

const (
	// maxBodyBytesInFlight bounds the bodies of the requests in flight at an endpoint, in
	// bytes. An endpoint ends if they exceed its memory, whose size isn't announced.
	maxBodyBytesInFlight = 8 << 20
	// besideLargeBytes is what other bodies may hold together beside a body beyond that
	// bound, so that small ones neither keep it from running nor wait for its end.
	besideLargeBytes = 64 << 10
)

// bodyMeter counts the bytes of the bodies in flight at an endpoint.
type bodyMeter struct {
	// large is the size of the one body beyond maxBodyBytesInFlight, 0 if there is none;
	// others is the sum of the others.
	large, others int64
}

// fits reports whether a request with a body of so many bytes may be sent, too.
func (m *bodyMeter) fits(bytes int64) bool {
	switch {
	case bytes <= 0:
		return true
	case bytes > maxBodyBytesInFlight:
		return m.large == 0 && m.others <= besideLargeBytes
	case m.large > 0:
		return m.others+bytes <= besideLargeBytes
	default:
		return m.others+bytes <= maxBodyBytesInFlight
	}
}

func (m *bodyMeter) add(bytes int64) {
	if bytes > maxBodyBytesInFlight {
		m.large = bytes
		return
	}
	m.others += max(0, bytes)
}

func (m *bodyMeter) remove(bytes int64) {
	if bytes > maxBodyBytesInFlight {
		m.large = 0
		return
	}
	m.others -= max(0, bytes)
}
