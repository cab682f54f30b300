import type { BatchFollowed, BatchHolder } from '../gen/magnoliakeel/v1/peer_pb';

/**
 * Why waiting for the holder of a batch ended.
 *
 * - `answered`: the holder sent its answer.
 * - `past`: the holder has ended its claims up to this one.
 * - `moved`: another entry has to be asked.
 * - `silent`: the holder has not answered for so long that its sidecars have stopped its runs, if they receive nothing
 *   from it either.
 * - `ended`: the link to the holder has ended, or nobody waits for the batch any longer.
 */
type FollowResult =
  | { readonly kind: 'answered'; readonly state: BatchFollowed }
  | { readonly kind: 'past'; readonly holder: BatchHolder }
  | { readonly kind: 'moved'; readonly holder: BatchHolder }
  | { readonly kind: 'silent' }
  | { readonly kind: 'ended' };
export type { FollowResult as default };
