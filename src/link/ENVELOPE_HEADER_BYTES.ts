/** Size of the header of an envelope in the Connect protocol: one byte of flags and the length as 32 bits. */
const ENVELOPE_HEADER_BYTES = 5;

export default ENVELOPE_HEADER_BYTES;
