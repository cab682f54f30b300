import type Manifest from './Manifest';

/** One team of the manifest. */
type TeamConfig = Manifest['teams'][number];
export type { TeamConfig as default };
