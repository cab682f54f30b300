import type { Answer } from '../gen/magnoliakeel/v1/peer_pb';

/**
 * Reply of an entry that is presumed to own a submission's job: the answer, that it
 * is not the owner or can't act as one yet, or that another entry holds the record.
 */
type OwnerReply =
  | { readonly kind: 'answer'; readonly answer: Answer }
  | { readonly kind: 'notOwner'; readonly mayHaveRun: boolean }
  | { readonly kind: 'heldBy'; readonly incarnation: string };

export type { OwnerReply as default };
