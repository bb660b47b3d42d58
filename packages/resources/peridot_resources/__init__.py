"""Resources that operators declare: models, manifests and parsed forms."""
