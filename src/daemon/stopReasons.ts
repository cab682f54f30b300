/** Reasons for stopping the daemon. */
const stopReasons = {
  planned: 'a planned stop',
  faults: 'errors came again and again',
} as const;

export default stopReasons;
