import ENVELOPE_HEADER_BYTES from './ENVELOPE_HEADER_BYTES';

/** Encodes one envelope of the Connect protocol. */
export default function encodeEnvelope(flags: number, content: Uint8Array): Buffer {
  const envelope = Buffer.allocUnsafe(ENVELOPE_HEADER_BYTES + content.length);
  envelope.writeUInt8(flags, 0);
  envelope.writeUInt32BE(content.length, 1);
  envelope.set(content, ENVELOPE_HEADER_BYTES);
  return envelope;
}
