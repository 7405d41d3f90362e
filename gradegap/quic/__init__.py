"""The second front: client sessions over QUIC, found by their connection ids."""
