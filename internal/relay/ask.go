package relay

import "slices"

// PathRequest describes the request that a path is wanted for.
type PathRequest struct {
	Route *Route
	// Service is set if the request has already been sent to a target of that service.
	Service string
	// Prompt is the number of tokens of a stream's prompt, MaxTokens the limit on the tokens
	// of its answer, and LengthHint the caller's estimate of them. Both are 0 if the caller
	// gives none.
	Prompt, MaxTokens, LengthHint int
	// Avoid lists targets that have failed this request.
	Avoid []TargetID
	// Only lists the targets that the request may begin on, even if they have failed it;
	// empty for any.
	Only []TargetID
	// Begun is set if the caller has already received a part of the answer.
	Begun bool
	// Resumed is set if the caller has a part of it, from this answer or an earlier one.
	Resumed bool
	// Urgency orders requests when permits of limited targets are scarce, 0 first. Waiting
	// is set if this request already waits for a permit.
	Urgency int
	Waiting bool
	// permits is set if limited targets have permits for the request.
	permits bool
	// answer is the expected length of the answer, in tokens.
	answer int
}

const (
	// hintWeight is the weight of the caller's estimate in the expected length; the usual
	// answer has the rest. Estimates are right in the median and often far off, so that
	// large ones are mostly too large.
	hintWeight = 0.6
	// meanAnswerShare is the part of an answer that is in memory on average, with some
	// margin: an answer grows from nothing to its full length, and the total of 140
	// requests varies by 6 %.
	meanAnswerShare = 0.6
)

// withExpectedAnswer returns the request with the expected length of the answer.
func (a PathRequest) withExpectedAnswer(e *Engine) PathRequest {
	answer := e.UsualAnswer
	if a.LengthHint > 0 {
		answer = int(hintWeight*float64(a.LengthHint) + (1-hintWeight)*float64(e.UsualAnswer))
	}
	if a.MaxTokens > 0 {
		answer = min(answer, a.MaxTokens)
	}
	a.answer = max(answer, 1)
	return a
}

// memoryTokens returns the mean number of tokens of memory that the request takes.
func (a PathRequest) memoryTokens() int { return a.Prompt + int(meanAnswerShare*float64(a.answer)) }

// avoids reports whether the request must not use a target.
func (a PathRequest) avoids(id TargetID) bool {
	return slices.Contains(a.Avoid, id) && !slices.Contains(a.Only, id)
}

// mayStartOn reports whether the request may begin on a target.
func (a PathRequest) mayStartOn(id TargetID) bool {
	return len(a.Only) == 0 || slices.Contains(a.Only, id)
}
