/** Values of the first byte of an envelope in the Connect protocol. Links are not compressed. */
const envelopeFlags = {
  none: 0b00,
  /** The last envelope of a stream that the server ends, cleanly or with an error. */
  endStream: 0b10,
} as const;

export default envelopeFlags;
