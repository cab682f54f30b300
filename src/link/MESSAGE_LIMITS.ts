const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Limits of one message between processes, in bytes: room for bodies of 16 MiB, several in a frame. */
const MESSAGE_LIMITS = { readMaxBytes: MAX_MESSAGE_BYTES, writeMaxBytes: MAX_MESSAGE_BYTES };

export default MESSAGE_LIMITS;
