package storer_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"

	"github.com/snipelift/snipelift/storer"
)

// TestAnObjectOverTheLimitIsAnError guards against a part of an object that is taken for the whole.
func TestAnObjectOverTheLimitIsAnError(t *testing.T) {
	for _, tt := range []struct {
		size int
		want error
	}{
		{storer.MaxObjectBytes, nil},
		{storer.MaxObjectBytes + 1, storer.ErrTooLarge},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			const chunk = 1 << 20
			for sent := 0; sent < tt.size; sent += chunk {
				if _, err := w.Write(make([]byte, min(chunk, tt.size-sent))); err != nil {
					return
				}
			}
		}))
		objects := storer.NewS3(storer.S3Options{
			Endpoint: s.URL, Region: "local", Bucket: "snipelift",
			Credentials: aws.AnonymousCredentials{}, HTTPClient: s.Client(), Timeout: time.Minute,
		})
		data, err := objects.Get(t.Context(), "checkpoint")
		if !errors.Is(err, tt.want) || err == nil && len(data) != tt.size {
			t.Errorf("object of %d bytes: got %d bytes, error %v, want error %v", tt.size, len(data), err, tt.want)
		}
		s.Close()
	}
}
