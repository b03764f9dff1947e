package storer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
)

// S3Options configures the client of the platform's object store.
type S3Options struct {
	// Endpoint is the URL of the service, with an IP address as host.
	Endpoint    string
	Region      string
	Bucket      string
	Credentials aws.CredentialsProvider
	HTTPClient  *http.Client
	// Timeout is the timeout of one request.
	Timeout time.Duration
}

// MaxObjectBytes is the maximum size in bytes of an object that Get returns.
const MaxObjectBytes = 64 << 20

// ErrTooLarge means that an object is larger than MaxObjectBytes.
var ErrTooLarge = errors.New("object too large")

type bucket struct {
	options S3Options
	client  *s3.Client
}

// NewS3 returns a client for the S3 API (AWS API version 2006-03-01); it does not retry requests.
func NewS3(options S3Options) Objects {
	client := s3.New(s3.Options{
		BaseEndpoint:               aws.String(options.Endpoint),
		Region:                     options.Region,
		Credentials:                options.Credentials,
		HTTPClient:                 options.HTTPClient,
		UsePathStyle:               true,
		Retryer:                    aws.NopRetryer{},
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	b := &bucket{options: options, client: client}
	return Objects{Put: b.put, Get: b.get}
}

func (b *bucket) put(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, b.options.Timeout)
	defer cancel()
	_, err := b.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket:        aws.String(b.options.Bucket),
		Key:           aws.String(key),
		Body:          bytes.NewReader(data),
		ContentLength: aws.Int64(int64(len(data))),
	})
	if err != nil {
		return fmt.Errorf("%w: put object %s: %w", ErrUnavailable, key, err)
	}
	return nil
}

func (b *bucket) get(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, b.options.Timeout)
	defer cancel()
	out, err := b.client.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(b.options.Bucket),
		Key:    aws.String(key),
	})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, fmt.Errorf("%w: get object %s: %w", ErrUnavailable, key, err)
	}
	defer func() { _ = out.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(out.Body, MaxObjectBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: read object %s: %w", ErrUnavailable, key, err)
	}
	if len(data) > MaxObjectBytes {
		return nil, fmt.Errorf("%w: %s has more than %d bytes", ErrTooLarge, key, MaxObjectBytes)
	}
	return data, nil
}
