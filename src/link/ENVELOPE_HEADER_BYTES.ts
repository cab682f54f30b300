/** Bytes before the content of an envelope, by the Connect protocol: the flags, and the length as 32 bits. */
const ENVELOPE_HEADER_BYTES = 5;

export default ENVELOPE_HEADER_BYTES;
