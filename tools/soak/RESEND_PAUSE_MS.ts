/** Pause before a job is sent again, as in the users' callers, ms. */
const RESEND_PAUSE_MS = 1_300;
export default RESEND_PAUSE_MS;
