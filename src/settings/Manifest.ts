import type { FromSchema } from 'json-schema-to-ts';
import type manifestSchema from '../gen/manifestSchema';

/** The desired state of the cluster, with all defaults filled in. */
type Manifest = FromSchema<typeof manifestSchema>;
export type { Manifest as default };
