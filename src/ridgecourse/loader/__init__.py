"""Program beside a model engine: brings its weights in and starts them."""
