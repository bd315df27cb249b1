"""What is stored in the key-value store: keys, record forms, a cached view, and the image index.

`schema` owns keys and record forms, `store_cache` one controller's cached view of the watched keys,
`image_index` the stored hint of which machine holds which container images.
"""
