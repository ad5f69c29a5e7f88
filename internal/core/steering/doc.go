// Package steering decides which places may answer a request, and in which
// order.
//
// The origin of a request is the place of its caller. A group is the endpoints
// of one service in one place. A rule permits requests to move from one place
// or region to another, and a link is the network between two regions in one
// direction.
//
// A Table is an immutable snapshot of one version of the document. It answers
// two questions from local state alone: which place a client belongs to, and
// which places are worth trying for a request with a given origin. It knows the
// load of the places only through the View that the caller passes in, so the
// same table and the same view always give the same ranking.
//
// A ranking is only a proposal, because a view always lags behind the actual
// state. The budgets of the rules and links and the admission control of the
// destination decide.
package steering
