import type { BatchFollowed, BatchHolder } from '../gen/magnoliakeel/v1/peer_pb';

/**
 * How waiting for the holder of a batch ends.
 * `answered`: with its answer. `past`: nothing of its claims up to that one is left. `moved`: another entry is to be
 * asked. `silent`: it has not answered for so long that its sidecars have stopped its runs, if it is silent to
 * them too. `ended`: its link has, or nobody waits any longer.
 */
type FollowResult =
  | { readonly kind: 'answered'; readonly state: BatchFollowed }
  | { readonly kind: 'past'; readonly holder: BatchHolder }
  | { readonly kind: 'moved'; readonly holder: BatchHolder }
  | { readonly kind: 'silent' }
  | { readonly kind: 'ended' };
export type { FollowResult as default };
