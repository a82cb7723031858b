package schedule

import (
	"time"

	"slipcrank.example/core/site"
)

// Work is the size of a request, in tokens.
type Work struct {
	// Prompt is the number of tokens to prefill before the first token.
	Prompt int
	// Answer is the expected number of tokens to decode.
	Answer int
}

// attentionPairs returns the number of pairs, in millions, of a token and an
// earlier one in a prompt of n tokens.
func attentionPairs(n int) float64 { return float64(n) * float64(n) / 2 / 1e6 }

// prefillTime returns how long an engine takes to prefill one of k equal parts
// of a prompt.
func prefillTime(e *site.Engine, prompt, k int) time.Duration {
	tokens := float64(prompt) / float64(k) / e.PrefillRate * float64(time.Second)
	context := attentionPairs(prompt) / float64(k) * float64(e.PrefillTimePerPairs)
	return time.Duration(tokens + context)
}

// idlePrefillTime returns the least time in which the given number of idle
// engines prefill a prompt together.
func idlePrefillTime(e *site.Engine, prompt, engines int) time.Duration {
	parts := min(maxHelpers+1, engines, max(prompt/minPartTokens, 1))
	return e.StepTime + prefillTime(e, prompt, parts)
}

// passTime returns the duration of a pass in which so many requests decode with
// so many tokens of context together, without the prefill in it. A pass in which
// no request decodes is one step.
func passTime(e *site.Engine, decoding, context int) time.Duration {
	if decoding == 0 {
		return e.StepTime
	}
	step := e.StepTime + time.Duration(decoding)*e.StepTimePerRequest +
		time.Duration(float64(context)/1000*float64(e.StepTimePerContext))
	return time.Duration(max(e.StepsPerPass, 1)) * step
}

// Value returns the value of a request relative to one of usual size: a base
// value for each request, and a part proportional to its tokens. As in the
// scoring rules, a decoded token counts as ten prompt tokens.
func Value(e *site.Engine, w Work) float64 {
	usual := float64(e.UsualPrompt + decodedTokenWeight*e.UsualAnswer)
	if usual <= 0 {
		return 1
	}
	return baseValue + (1-baseValue)*float64(w.Prompt+decodedTokenWeight*w.Answer)/usual
}

// The weights of request sizes, as given by the scoring rules of the deployments.
const (
	decodedTokenWeight = 10
	baseValue          = 0.3
)
