package configstore_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/configstore"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// fakeStore answers with functions and records what it was asked.
type fakeStore struct {
	value func(ctx context.Context) (configstore.Value, error)
	await func(ctx context.Context) (configstore.Value, error)
	asked []string
}

func (s *fakeStore) Value(ctx context.Context, name string) (configstore.Value, error) {
	s.asked = append(s.asked, name)
	return s.value(ctx)
}

func (s *fakeStore) Await(ctx context.Context, name string, after uint64, wait time.Duration) (configstore.Value, error) {
	s.asked = append(s.asked, fmt.Sprintf("%s after %d for %s", name, after, wait))
	return s.await(ctx)
}

func (*fakeStore) Close() {}

func holds(data []byte, version uint64) func(context.Context) (configstore.Value, error) {
	return func(context.Context) (configstore.Value, error) {
		return configstore.Value{Data: data, Version: version}, nil
	}
}

func fails(err error) func(context.Context) (configstore.Value, error) {
	return func(context.Context) (configstore.Value, error) { return configstore.Value{}, err }
}

func hangs(ctx context.Context) (configstore.Value, error) {
	<-ctx.Done()
	return configstore.Value{}, ctx.Err()
}

// manifest returns a valid manifest of a revision.
func manifest(revision config.Revision) []byte {
	return fmt.Appendf(nil, `{"format":%d,"revision":%d,"documents":[]}`, config.FormatVersion, revision)
}

func codeOf(err error) result.Code {
	var typed *result.Error
	if !errors.As(err, &typed) {
		return 0
	}
	return typed.Code
}

func TestValues(t *testing.T) {
	for _, c := range []struct {
		name  string
		value func(context.Context) (configstore.Value, error)
		want  result.Code
		size  int
	}{
		{"a value", holds([]byte("value"), 3), 0, 5},
		{"the largest value", holds(bytes.Repeat([]byte("x"), config.MaxValueBytes), 3), 0, config.MaxValueBytes},
		{"a value over the limit", holds(bytes.Repeat([]byte("x"), config.MaxValueBytes+1), 3), result.DocumentTooLarge, 0},
		{"a store that fails", fails(errors.New("status 503")), result.PlatformUnavailable, 0},
		{"a value that does not exist", holds(nil, 3), result.PlatformUnavailable, 0},
		{"no answer", hangs, result.PlatformUnavailable, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var codes []result.Code
				client := configstore.New(configstore.Options{
					Stores: []configstore.Store{&fakeStore{value: c.value}},
					OnCall: func(_ string, code result.Code) { codes = append(codes, code) },
				})
				data, err := client.Manifest(context.Background())
				g.Expect(codeOf(err)).To(Equal(c.want))
				g.Expect(data).To(HaveLen(c.size))
				g.Expect(codes).To(Equal([]result.Code{c.want}))
			})
		})
	}
}

func TestWatchWaitsFromWhatWasReadLast(t *testing.T) {
	g := NewWithT(t)
	store := &fakeStore{value: holds(manifest(7), 41), await: holds(nil, 52)}
	client := configstore.New(configstore.Options{Stores: []configstore.Store{store}})
	watch := func(after config.Revision) []byte {
		data, err := client.Watch(context.Background(), after, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		return data
	}
	g.Expect(watch(7)).To(BeNil())
	g.Expect(watch(7)).To(BeNil())
	g.Expect(watch(6)).To(Equal(manifest(7)), "its reader did not take it")
	store.await = holds(manifest(8), 60)
	g.Expect(watch(7)).To(Equal(manifest(8)))
	store.value, store.await = holds(manifest(9), 99), fails(configstore.ErrHistoryCompacted)
	g.Expect(watch(8)).To(Equal(manifest(9)))
	g.Expect(store.asked).To(Equal([]string{
		"manifest", "manifest after 41 for 1s",
		"manifest after 52 for 1s",
		"manifest",
		"manifest after 52 for 1s",
		"manifest after 60 for 1s", "manifest",
	}))
}

func TestUnreadableManifestIsReadAgain(t *testing.T) {
	g := NewWithT(t)
	store := &fakeStore{value: holds([]byte("{"), 4), await: hangs}
	client := configstore.New(configstore.Options{Stores: []configstore.Store{store}})
	for range 2 {
		data, err := client.Watch(context.Background(), 7, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(data).To(Equal([]byte("{")))
	}
	g.Expect(store.asked).To(Equal([]string{"manifest", "manifest"}))
}

func TestCallsStayWithTheStoreThatAnswers(t *testing.T) {
	g := NewWithT(t)
	var codes []result.Code
	bad, good := &fakeStore{value: fails(errors.New("status 500"))}, &fakeStore{value: holds([]byte("x"), 1)}
	client := configstore.New(configstore.Options{
		Stores: []configstore.Store{bad, good},
		OnCall: func(_ string, code result.Code) { codes = append(codes, code) },
	})
	for range 2 {
		_, err := client.Document(context.Background(), "a1")
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(codes).To(Equal([]result.Code{result.PlatformUnavailable, 0, 0}))
}

func TestMissingAddressIsReported(t *testing.T) {
	_, err := configstore.New(configstore.Options{}).Document(context.Background(), "00")
	NewWithT(t).Expect(codeOf(err)).To(Equal(result.PlatformUnavailable))
}

func TestCallsAreNamedWithoutHashes(t *testing.T) {
	g := NewWithT(t)
	var calls []string
	store := &fakeStore{value: holds([]byte("data"), 1)}
	client := configstore.New(configstore.Options{
		Stores: []configstore.Store{store},
		OnCall: func(call string, _ result.Code) { calls = append(calls, call) },
	})
	for _, hash := range []string{"a1", "b2"} {
		_, err := client.Document(context.Background(), hash)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(calls).To(Equal([]string{configstore.CallDocument, configstore.CallDocument}))
	g.Expect(store.asked).To(Equal([]string{"documents/a1", "documents/b2"}))
}
