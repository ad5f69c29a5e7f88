// Package steering decides which places may answer a request, in which order.
//
// A Table is an immutable snapshot of one version of the document. It answers
// two questions from local state alone: where a client belongs, and which
// places are worth trying for a request that originates there. It knows the
// load of the places only through the View that the caller passes in, so the
// same table and the same view always give the same ranking.
//
// A Table only proposes. The budgets of rules and links and the admission of
// the destination decide, because views are always late.
package steering
