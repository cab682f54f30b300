import type { FromSchema } from 'json-schema-to-ts';
import type batchSchema from '../gen/batchSchema';

/** Settings of a sidecar that manages leased runs, with all defaults filled in. */
type RunSidecarSettings = FromSchema<typeof batchSchema.runSidecar>;
export type { RunSidecarSettings as default };
