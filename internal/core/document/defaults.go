package document

import "time"

// Defaults of fields that are omitted from the text. A field that is present keeps
// its value, even if that is zero.
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

// The methods below set the defaults before the fields are decoded. They use the
// form of yaml.Unmarshaler that takes a function, because the decoder rejects
// unknown fields in it, but not when a yaml.Node is decoded.

// UnmarshalYAML sets the defaults and decodes the region.
func (r *Region) UnmarshalYAML(unmarshal func(any) error) error {
	type region Region
	*r = Region{ReservePercent: DefaultReservePercent}
	return unmarshal((*region)(r))
}

// UnmarshalYAML sets the defaults and decodes the link.
func (l *Link) UnmarshalYAML(unmarshal func(any) error) error {
	type link Link
	*l = Link{FillPercent: DefaultFillPercent}
	return unmarshal((*link)(l))
}

// NewService returns a service with the defaults; all other fields are zero.
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

// UnmarshalYAML sets the defaults and decodes the service.
func (s *Service) UnmarshalYAML(unmarshal func(any) error) error {
	type service Service
	*s = NewService()
	return unmarshal((*service)(s))
}

// UnmarshalYAML sets the defaults and decodes the rule.
func (r *Rule) UnmarshalYAML(unmarshal func(any) error) error {
	type rule Rule
	*r = Rule{Ramp: Duration(DefaultRamp)}
	return unmarshal((*rule)(r))
}
