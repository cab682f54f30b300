import type { FromSchema } from 'json-schema-to-ts';
import type batchSchema from '../gen/batchSchema';

/** Settings of an entry that dispatches batches, with all defaults filled in. */
type BatchEntrySettings = FromSchema<typeof batchSchema.batchEntry>;
export type { BatchEntrySettings as default };
