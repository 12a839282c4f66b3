package keep

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// prompt is the state of one prompt. It is kept also when no copy is left,
// since a return could not be told apart from a new prompt without it.
type prompt struct {
	tracked bool
	scope   prefix.Scope
	key     gapKey
	team    *teamState
	blocks  []prefix.BlockID
	bytes   int64 // size of one block
	saved   time.Duration
	lastUse time.Time
	uses    int
	// copies is the number of copies among the blocks that this prompt owns.
	copies            int
	runner            ident.Upstream
	runnerIncarnation ident.Incarnation
	runnerDataCentre  ident.DataCentre
	// blocksOnRunner is the number of leading blocks that the runner is assumed
	// to hold still.
	blocksOnRunner int
	// ageBucket is the age bucket that the prompt is in; nextAgeCheck is the
	// time at which the next bucket begins or a prefetch is due.
	ageBucket    int
	nextAgeCheck time.Time
	ageIndex     int // index in the age queue, -1 if not in it
	retryAt      time.Time
	// waiting is the index in Manager.waiting, -1 if not in it.
	waiting      int
	prefetched   bool
	cycles       []cycle
	prefetchAt   time.Time // zero if no prefetch is planned
	newer, older *prompt
}

// blockUse records the prompts that use one block. Prompts share blocks when
// one continues another or both begin with a team's instructions.
type blockUse struct {
	// owner is the prompt that determines the block's value, nil if unknown.
	owner *prompt
	users uint32
}

// promptTable indexes the prompts by block, by last block and by time of last
// use.
type promptTable struct {
	byBlock     map[prefix.BlockID]blockUse
	byLastBlock map[prefix.BlockID]*prompt
	count       int
	newest      *prompt
	oldest      *prompt
}

func newPromptTable() promptTable {
	return promptTable{
		byBlock:     make(map[prefix.BlockID]blockUse),
		byLastBlock: make(map[prefix.BlockID]*prompt),
	}
}

func (t *promptTable) len() int { return t.count }

// ownerOf returns the prompt that determines the value of a block.
func (t *promptTable) ownerOf(block prefix.BlockID) *prompt {
	return t.byBlock[block].owner
}

func (t *promptTable) pushNewest(p *prompt) {
	p.older = t.newest
	p.newer = nil
	if t.newest != nil {
		t.newest.newer = p
	} else {
		t.oldest = p
	}
	t.newest = p
	t.count++
}

func (t *promptTable) unlink(p *prompt) {
	if p.newer != nil {
		p.newer.older = p.older
	} else {
		t.newest = p.older
	}
	if p.older != nil {
		p.older.newer = p.newer
	} else {
		t.oldest = p.newer
	}
	p.newer, p.older = nil, nil
	t.count--
}
