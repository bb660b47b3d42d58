"""Resources that operators declare: validated models, manifests and parsed forms."""
