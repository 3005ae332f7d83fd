"""Self-signed certificates for tests of TLS."""

import datetime

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509

DAY = datetime.timedelta(days=1)


def write_pair(folder, name):
    """Write a certificate for ``name``, c.pem, and its key, k.pem."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name.from_rfc4514_string(f'CN={name}')
    now = datetime.datetime.now(datetime.timezone.utc)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - DAY)
        .not_valid_after(now + DAY)
        .add_extension(x509.BasicConstraints(True, None), critical=True)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / 'c.pem').write_bytes(certificate.public_bytes(pem))
    (folder / 'k.pem').write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
