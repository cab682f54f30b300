import type Manifest from './Manifest';

/** One service of the manifest. */
type ServiceConfig = Manifest['services'][number];
export type { ServiceConfig as default };
