import { version as packageVersion } from '../../package.json';

/** The version of this build. */
const version: string = packageVersion;

export default version;
