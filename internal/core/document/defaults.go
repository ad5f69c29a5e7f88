package document

import "time"

// Defaults of fields that are left out. A field that is written keeps its
// value, also when that is zero.
const (
	// DefaultReservePercent is the default of Region.ReservePercent.
	DefaultReservePercent = 10
	// DefaultFillPercent is the default of Link.FillPercent.
	DefaultFillPercent = 80
	// DefaultDeadline is the default of Service.Deadline.
	DefaultDeadline = 2 * time.Second
	// DefaultMaxBodyBytes is the default of Service.MaxBodyBytes.
	DefaultMaxBodyBytes = 1 << 20
	// DefaultMaxAnswerBytes is the default of Service.MaxAnswerBytes.
	DefaultMaxAnswerBytes = 1 << 20
	// DefaultRequestBytes is the default of Service.RequestBytes.
	DefaultRequestBytes = 1 << 10
	// DefaultAnswerBytes is the default of Service.AnswerBytes.
	DefaultAnswerBytes = 8 << 10
	// DefaultRamp is the default of Rule.Ramp.
	DefaultRamp = 10 * time.Second
)

// DefaultIdempotentMethods is the default of Service.IdempotentMethods.
func DefaultIdempotentMethods() []string { return []string{"GET", "HEAD"} }

// The methods below set the defaults before the fields are read. They take the
// function form of yaml.Unmarshaler because the decoder stays strict in it,
// which it doesn't when a yaml.Node is decoded.

// UnmarshalYAML sets the defaults and reads the region.
func (r *Region) UnmarshalYAML(unmarshal func(any) error) error {
	type region Region
	*r = Region{ReservePercent: DefaultReservePercent}
	return unmarshal((*region)(r))
}

// UnmarshalYAML sets the defaults and reads the link.
func (l *Link) UnmarshalYAML(unmarshal func(any) error) error {
	type link Link
	*l = Link{FillPercent: DefaultFillPercent}
	return unmarshal((*link)(l))
}

// NewService returns a service that has the defaults and nothing else.
func NewService() Service {
	return Service{
		IdempotentMethods: DefaultIdempotentMethods(),
		Deadline:          Duration(DefaultDeadline),
		MaxBodyBytes:      DefaultMaxBodyBytes,
		MaxAnswerBytes:    DefaultMaxAnswerBytes,
		RequestBytes:      DefaultRequestBytes,
		AnswerBytes:       DefaultAnswerBytes,
	}
}

// UnmarshalYAML sets the defaults and reads the service.
func (s *Service) UnmarshalYAML(unmarshal func(any) error) error {
	type service Service
	*s = NewService()
	return unmarshal((*service)(s))
}

// UnmarshalYAML sets the defaults and reads the rule.
func (r *Rule) UnmarshalYAML(unmarshal func(any) error) error {
	type rule Rule
	*r = Rule{Ramp: Duration(DefaultRamp)}
	return unmarshal((*rule)(r))
}
