package document

// Document is the complete configuration that operators apply.
type Document struct {
	// Regions are the groups of nearby places.
	Regions []Region `yaml:"regions" json:"regions"`
	// Places are the failure domains, each in one region.
	Places []Place `yaml:"places" json:"places"`
	// Links bound the traffic between regions.
	Links []Link `yaml:"links,omitempty" json:"links,omitempty"`
	// Services are the services that callers can request.
	Services []Service `yaml:"services" json:"services"`
	// Rules permit traffic to shift to other places. Without a matching rule a
	// request stays in its place.
	Rules []Rule `yaml:"rules,omitempty" json:"rules,omitempty"`
	// Drains exclude places from use, for one service or for all.
	Drains []Drain `yaml:"drains,omitempty" json:"drains,omitempty"`
	// Operators are those who may change the document.
	Operators []Operator `yaml:"operators,omitempty" json:"operators,omitempty"`
}

// Region is a group of places that are near each other.
type Region struct {
	// Name identifies the region.
	Name string `yaml:"name" json:"name"`
	// ReservePercent is the percentage of the slots of a place in the region
	// that requests from other places may not use; 0 to 100.
	ReservePercent int `yaml:"reserve_percent" json:"reserve_percent"`
}

// Place is a failure domain with its own entry VMs and endpoints.
type Place struct {
	// Name identifies the place.
	Name string `yaml:"name" json:"name"`
	// Region names the place's region.
	Region string `yaml:"region" json:"region"`
	// Clients are the address blocks (CIDR) of the callers whose requests
	// originate in this place.
	Clients []string `yaml:"clients,omitempty" json:"clients,omitempty"`
	// Entries are the entry VMs of the place.
	Entries []Entry `yaml:"entries" json:"entries"`
}

// Entry is one entry VM.
type Entry struct {
	// Name identifies the entry; it is unique across all places.
	Name string `yaml:"name" json:"name"`
	// Caller is the IP:port that callers and endpoints use (HTTP).
	Caller string `yaml:"caller" json:"caller"`
	// Peer is the IP:port that other VMs of the system use (gRPC).
	Peer string `yaml:"peer" json:"peer"`
}

// Link is the network from one region to another, in one direction.
type Link struct {
	// From and To name two different regions.
	From string `yaml:"from" json:"from"`
	To   string `yaml:"to" json:"to"`
	// MbitPerS is the capacity in megabits per second.
	MbitPerS int `yaml:"mbit_per_s" json:"mbit_per_s"`
	// FillPercent is the percentage of the capacity that steering may use; 1 to
	// 100.
	FillPercent int `yaml:"fill_percent" json:"fill_percent"`
}

// Service is a service that endpoints announce and callers request.
type Service struct {
	// Name identifies the service.
	Name string `yaml:"name" json:"name"`
	// IdempotentMethods are the HTTP methods whose requests may be executed more
	// than once; requests of all other methods are executed at most once.
	IdempotentMethods []string `yaml:"idempotent_methods" json:"idempotent_methods"`
	// Deadline is the default time that a request may take.
	Deadline Duration `yaml:"deadline" json:"deadline"`
	// MaxBodyBytes bounds the body of a request, in bytes.
	MaxBodyBytes int64 `yaml:"max_body_bytes" json:"max_body_bytes"`
	// MaxAnswerBytes bounds the body of an answer, in bytes.
	MaxAnswerBytes int64 `yaml:"max_answer_bytes" json:"max_answer_bytes"`
	// Places names the places in which the service has endpoints.
	Places []string `yaml:"places" json:"places"`
	// Workers is the number of endpoints expected in all places together.
	Workers int `yaml:"workers" json:"workers"`
	// Slots is the number of requests that one endpoint processes concurrently.
	Slots int `yaml:"slots" json:"slots"`
	// Connections is the number of connections that one endpoint accepts. Each
	// carries one request at a time.
	Connections int `yaml:"connections" json:"connections"`
	// RequestBytes and AnswerBytes are the expected sizes of a request and of
	// its answer on a link. They convert the caps of rules, in requests per
	// second, to the bandwidth that these need.
	RequestBytes int64 `yaml:"request_bytes" json:"request_bytes"`
	AnswerBytes  int64 `yaml:"answer_bytes" json:"answer_bytes"`
}

// Rule permits a shift of traffic and caps it.
type Rule struct {
	// Name identifies the rule.
	Name string `yaml:"name" json:"name"`
	// Service names the service; empty means every service.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// From and To each name a place or a region.
	From string `yaml:"from" json:"from"`
	To   string `yaml:"to" json:"to"`
	// RequestsPerS caps the requests moved in any window of one second.
	RequestsPerS int `yaml:"requests_per_s" json:"requests_per_s"`
	// Ramp is the time in which a shift increases from a tenth of the cap to all
	// of it.
	Ramp Duration `yaml:"ramp" json:"ramp"`
	// Shares divide the cap among the destination's entries; empty means evenly.
	Shares []Share `yaml:"shares,omitempty" json:"shares,omitempty"`
}

// Share is an entry's fixed part of the cap of a rule.
type Share struct {
	// Entry names an entry of the rule's destination.
	Entry string `yaml:"entry" json:"entry"`
	// Percent is the entry's part of the cap; the shares of a rule add up to 100.
	Percent int `yaml:"percent" json:"percent"`
}

// Drain excludes a place from use for one service or for all.
type Drain struct {
	// Place names the place.
	Place string `yaml:"place" json:"place"`
	// Service names the service; empty means every service.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// Reason is shown to other operators; 1 to MaxReasonBytes bytes.
	Reason string `yaml:"reason" json:"reason"`
}

// Operator is a person or a program that may change the document.
type Operator struct {
	// Name identifies the operator in the audit trail.
	Name string `yaml:"name" json:"name"`
	// TokenSHA256 is the lower-case hex SHA-256 of the operator's token.
	TokenSHA256 string `yaml:"token_sha256" json:"token_sha256"`
}
