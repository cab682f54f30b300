/**
 * Why a run is stopped: its entry asked for it or became unresponsive, or its link ended; this sidecar shuts
 * down; the same task was requested again; or the backend server did not answer its starts.
 */
type StopCause =
  'asked' | 'entry_silent' | 'link_ended' | 'leaving' | 'ordered_again' | 'unanswered';

export type { StopCause as default };
