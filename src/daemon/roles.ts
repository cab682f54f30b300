import type EntrySettings from '../settings/EntrySettings';
import type SidecarSettings from '../settings/SidecarSettings';
import runEntry from './runEntry';
import type RunRole from './RunRole';
import runSidecar from './runSidecar';

/** The functions that run each role. */
interface Roles {
  readonly entry?: RunRole<EntrySettings>;
  readonly sidecar?: RunRole<SidecarSettings>;
}

/** The roles that this build can run, by their names in the settings. */
const roles: Roles = { entry: runEntry, sidecar: runSidecar };

export default roles;
