// Package verdict classifies the failure of a request by whether the request may
// have run on an endpoint, which decides if it is safe to send it again, and by a
// reason.
//
// Every layer that carries a request returns its errors as *verdict.Error, so
// that NotRun is reported to a caller only when it is certain. An error without a
// verdict counts as MayHaveRun, which is therefore the zero value.
package verdict
