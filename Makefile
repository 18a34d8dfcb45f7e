.PHONY: build test race lint demo model fuzz

build:
	go build -o bin/ ./cmd/...

test:
	./test

race:
	./test -race

lint:
	gofmt -s -l cmd internal pkg platform
	go vet ./...

demo:
	go run ./cmd/laburnumlab demo

model:
	./spec/check
