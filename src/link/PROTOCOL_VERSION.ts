/** Version of the messages between processes. Two processes link only when theirs is the same. */
const PROTOCOL_VERSION = 1;

export default PROTOCOL_VERSION;
