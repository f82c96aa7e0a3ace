.PHONY: build test lint run clean
build:
	cmake -S . -B build -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF
	cmake --build build -j4
test:
	tests/all.sh
lint:
	tests/lint.sh
run: build
	build/sagetally
clean:
	rm -rf build build-test-*
