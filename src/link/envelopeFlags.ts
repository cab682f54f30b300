/** The first byte of an envelope, by the Connect protocol. Links are not compressed. */
const envelopeFlags = {
  none: 0b00,
  /** The last envelope of a stream that ends in good order, or that a server ends with an error. */
  endStream: 0b10,
} as const;

export default envelopeFlags;
