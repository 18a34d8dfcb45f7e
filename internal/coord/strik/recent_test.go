package strik_test

import (
	"testing"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/pkg/ident"
)

func TestPartsOfNearlyAllPromptsAreCommon(t *testing.T) {
	var r strik.Recent
	for range 39 {
		r.Add([]ident.PartID{commonPart, rarePart})
	}
	test.False(t, r.IsCommon(commonPart), test.Sprint("too few prompts"))
	r.Add([]ident.PartID{commonPart, commonPart})
	test.True(t, r.IsCommon(commonPart))
	test.True(t, r.IsCommon(rarePart))
	for i := range 200 {
		r.Add([]ident.PartID{commonPart, ident.PartID(100 + i)})
	}
	test.True(t, r.IsCommon(commonPart))
	test.False(t, r.IsCommon(rarePart))
	test.False(t, r.IsCommon(badPart))
	for range 13 {
		r.Add([]ident.PartID{badPart})
	}
	test.False(t, r.IsCommon(commonPart), test.Sprint("13 of 128 lack it"))
}
