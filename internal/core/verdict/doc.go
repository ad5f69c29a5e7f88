// Package verdict says whether a request may have run on an endpoint.
//
// Every layer that carries a request returns its errors as *verdict.Error, so
// that a caller is told NotRun only when that is certain. An error that has
// lost its verdict counts as MayHaveRun, which is why that is the zero value.
package verdict
