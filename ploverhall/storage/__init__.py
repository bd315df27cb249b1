"""Define what is stored in the key-value store: keys, record forms, cached view, image index.

`schema` owns keys and record forms, `store_cache` one controller's cached view of the watched keys,
`image_index` the stored hint that tells which machine holds which container images.
"""
