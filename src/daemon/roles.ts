import type EntrySettings from '../settings/EntrySettings';
import type SidecarSettings from '../settings/SidecarSettings';
import type RunRole from './RunRole';

/** What runs each role. */
interface Roles {
  readonly entry?: RunRole<EntrySettings>;
  readonly sidecar?: RunRole<SidecarSettings>;
}

/** The roles that this build can run, by the name that the settings give. */
const roles: Roles = {};

export default roles;
