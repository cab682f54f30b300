import type EntrySettings from '../settings/EntrySettings';
import type SidecarSettings from '../settings/SidecarSettings';
import runEntry from './runEntry';
import type RunRole from './RunRole';
import runSidecar from './runSidecar';

/** What runs each role. */
interface Roles {
  readonly entry?: RunRole<EntrySettings>;
  readonly sidecar?: RunRole<SidecarSettings>;
}

/** The roles that this build can run, by the name that the settings give. */
const roles: Roles = { entry: runEntry, sidecar: runSidecar };

export default roles;
