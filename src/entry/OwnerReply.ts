import type { Answer } from '../gen/magnoliakeel/v1/peer_pb';

/**
 * What an entry says to a submission that it was taken for the owner of: the
 * answer, that it is not the owner or can't act as one yet, or that another
 * entry holds the record.
 */
type OwnerReply =
  | { readonly kind: 'answer'; readonly answer: Answer }
  | { readonly kind: 'notOwner'; readonly mayHaveRun: boolean }
  | { readonly kind: 'heldBy'; readonly incarnation: string };

export type { OwnerReply as default };
