/** Version of the protocol between processes. Two processes link only if they have the same version. */
const PROTOCOL_VERSION = 1;

export default PROTOCOL_VERSION;
