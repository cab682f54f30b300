const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Size limits of one message between processes, in bytes: enough for several bodies of 16 MiB in one frame. */
const MESSAGE_LIMITS = { readMaxBytes: MAX_MESSAGE_BYTES, writeMaxBytes: MAX_MESSAGE_BYTES };

export default MESSAGE_LIMITS;
