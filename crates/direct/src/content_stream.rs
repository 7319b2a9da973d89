//! Transfer of the store's content from a peer: rows of servers in pages, then declarations as scripts
//! from those that the receiver has, or whole in pieces that can be continued.

use crate::crash_guard::CrashNews;
use crate::declarations_row::StoredDeclarations;
use crate::news_stream::PeerNews as _;
use crate::peer_content::PeerContent;
use crate::request_limit::LimitNews;
use crate::send_slots::SendSlot;
use crate::shared::Shared;
use adapter::DeclarationError;
use policy::{CountedRow, PartialContent, apply_script, continued_offset, needs_send_slot};
use proto::{
    CONTENT_PAGE_ROWS, CONTENT_PIECE_BYTES, ContentDigest, ContentFrame, ContentHead,
    ContentRequest, DeclarationsForm, DeclarationsHead, RequestLimitFrame, StoreSnapshot,
    StoreVersions, StreamOpening, content_digest, decode_scripts, encode_scripts,
};
use quick_error::quick_error;
use runtime::{FrameReceiver, FrameSender, LinkEndpoint, LinkError, Role, timeout};
use slog::{info, warn};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

quick_error! {
    /// Why content could not be fetched from a peer.
    #[derive(Debug)]
    pub enum FetchError {
        /// The link or the stream failed.
        Link(err: LinkError) {
            display("{err}")
            from()
        }
        /// Nothing arrived for the time limit at this step.
        TimedOut(step: &'static str) {
            display("{step}: no progress")
        }
        /// The peer ended the stream at this step.
        Ended(step: &'static str) {
            display("{step}: the stream ended")
        }
        /// The peer sends to as many gateways as it can.
        Busy {
            display("declarations: the peer is busy")
        }
        /// The peer sent another frame than the one expected at this step.
        Unexpected(step: &'static str) {
            display("{step}: unexpected frame")
        }
        /// The declarations cannot be decoded.
        Invalid(err: DeclarationError) {
            display("declarations: {err}")
            from()
        }
        /// The declarations exceed the limit on their size.
        TooLarge {
            display("declarations: they exceed the limit on their size")
        }
        /// The peer has just started too.
        Starting {
            display("head: the peer has just started")
        }
        /// The declarations are not those that the peer has announced.
        Damaged {
            display("declarations: not those announced")
        }
    }
}

impl FetchError {
    /// Name of the reason in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Link(_) => "link",
            Self::TimedOut(_) => "timeout",
            Self::Ended(_) => "ended",
            Self::Busy => "busy",
            Self::Unexpected(_) => "unexpected",
            Self::Invalid(_) => "invalid",
            Self::TooLarge => "too-large",
            Self::Starting => "starting",
            Self::Damaged => "damaged",
        }
    }
}

/// Sends what a peer asks for. Returns the slot that the transfer takes until the peer has received it:
/// sending ends once the bytes are buffered.
pub async fn send_content<'a>(
    shared: &'a Shared,
    req: &ContentRequest,
    tx: &mut FrameSender,
) -> Result<Option<SendSlot<'a>>, LinkError> {
    let (snapshot, counts, stored) = shared.store_cache.export_parts(&req.versions);
    let (declarations, payload) = declarations_for(shared, req, stored);
    let head = ContentHead {
        versions: snapshot.versions,
        evacuated: snapshot.evacuated,
        rows: snapshot.servers.len() as u64,
        is_difference: snapshot.is_difference,
        declarations,
        orders: Some(shared.store_cache.orders()),
        counts: Some(counts),
        is_starting: Some(shared.is_starting()),
    };
    tx.send(&ContentFrame::Head(head)).await?;
    if req.is_first {
        let (limits, _) = LimitNews::changed_since(shared, None);
        let limits = limits.unwrap_or(RequestLimitFrame { limits: Vec::new() });
        tx.send(&ContentFrame::Limits(limits)).await?;
        let (crashes, _) = CrashNews::changed_since(shared, None);
        tx.send(&ContentFrame::Crashes(crashes.unwrap_or_default()))
            .await?;
    }
    for page in snapshot.servers.chunks(CONTENT_PAGE_ROWS) {
        tx.send(&ContentFrame::Rows(page.to_vec())).await?;
    }
    let (bytes, offset) = &payload;
    let is_large = needs_send_slot(bytes.len() - offset);
    let slot = if is_large {
        shared.send_slots.claim()
    } else {
        None
    };
    if is_large && slot.is_none() {
        tx.send(&ContentFrame::Busy).await?;
        return Ok(None);
    }
    for piece in bytes[*offset..].chunks(CONTENT_PIECE_BYTES) {
        tx.send(&ContentFrame::Piece(piece.to_vec())).await?;
    }
    Ok(slot)
}

/// How the active declarations are sent, and the bytes to send from an offset.
fn declarations_for(
    shared: &Shared,
    req: &ContentRequest,
    stored: Option<StoredDeclarations>,
) -> (Option<DeclarationsHead>, (Arc<Vec<u8>>, usize)) {
    let Some(stored) = stored.filter(|stored| req.declarations != Some(stored.digest)) else {
        return (None, (Arc::default(), 0));
    };
    let head = |form, bytes: usize| DeclarationsHead {
        digest: stored.digest,
        form,
        bytes: bytes as u64,
        row: Some(stored.row),
    };
    let scripts = req
        .declarations
        .and_then(|from| shared.store_cache.scripts(from, stored.digest));
    let scripts =
        scripts.and_then(|scripts| encode_scripts(scripts.iter().map(|script| &**script)).ok());
    if let Some(bytes) = scripts.filter(|bytes| bytes.len() < stored.body.len()) {
        let head = head(DeclarationsForm::Scripts, bytes.len());
        return (Some(head), (Arc::new(bytes), 0));
    }
    let offset = continued_offset(req.partial, stored.digest, stored.body.len());
    let form = DeclarationsForm::Whole {
        offset: offset as u64,
    };
    let head = head(form, stored.body.len() - offset);
    (Some(head), (stored.body, offset))
}

/// A fetch from one peer.
#[derive(Debug)]
pub struct ContentFetch<'a> {
    /// State of the process.
    pub shared: &'a Shared,
    /// Name of the peer.
    pub peer: &'a str,
    /// Time limit for each frame.
    pub limit: Duration,
    /// Whether all that the peer knows is wanted, as long as it has not just started itself.
    pub is_first: bool,
}

impl ContentFetch<'_> {
    /// Fetches what the peer has beyond the own content and applies it.
    pub async fn run(
        &self,
        link: &Arc<LinkEndpoint>,
        address: SocketAddr,
        partial: &Mutex<PartialContent>,
    ) -> Result<(), FetchError> {
        self.connect(link, address).await?;
        let cache = &self.shared.store_cache;
        let versions = match self.is_first {
            true => StoreVersions::default(),
            false => cache.versions(),
        };
        let declarations = cache.declarations().map(|stored| stored.digest);
        lock(partial).discard_if_known(declarations);
        let request = ContentRequest {
            versions,
            declarations,
            partial: lock(partial).known(),
            is_first: self.is_first,
        };
        let opening = StreamOpening::StoreContent(request);
        let (_tx, mut rx) = link.open(address, Role::Gateway, &opening).await?;
        match self.frame(&mut rx, "head").await {
            Ok(ContentFrame::Head(head)) => self.receive(&mut rx, head, partial).await,
            Ok(_) => Err(FetchError::Unexpected("head")),
            // A peer of an earlier build refuses the stream.
            Err(FetchError::Link(LinkError::Broken(..)) | FetchError::Ended(_)) => {
                self.fetch_in_one_frame(link, address, versions).await
            }
            Err(err) => Err(err),
        }
    }

    /// Connects to the peer. A handshake that takes longer than the limit goes on, for the next fetch.
    async fn connect(
        &self,
        link: &Arc<LinkEndpoint>,
        address: SocketAddr,
    ) -> Result<(), FetchError> {
        let connected = timeout(self.limit, link.connect_to(address, Role::Gateway)).await;
        Ok(connected.map_err(|_| FetchError::TimedOut("connect"))??)
    }

    async fn frame(
        &self,
        rx: &mut FrameReceiver,
        step: &'static str,
    ) -> Result<ContentFrame, FetchError> {
        let frame = timeout(self.limit, rx.receive()).await;
        let frame = frame.map_err(|_| FetchError::TimedOut(step))??;
        let frame = frame.ok_or(FetchError::Ended(step))?;
        if matches!(frame, ContentFrame::Rows(_) | ContentFrame::Piece(_)) {
            let now = self.shared.clock.now();
            self.shared.lock_store_fallback().on_progress(now);
        }
        Ok(frame)
    }

    async fn receive(
        &self,
        rx: &mut FrameReceiver,
        head: ContentHead,
        partial: &Mutex<PartialContent>,
    ) -> Result<(), FetchError> {
        if self.is_first && head.is_starting == Some(true) {
            return Err(FetchError::Starting);
        }
        // An earlier build does not state whether it has just started, nor send what follows.
        if self.is_first && head.is_starting.is_some() {
            self.receive_news(rx).await?;
        }
        // Orders come first, as large declarations take time.
        let cache = &self.shared.store_cache;
        cache.on_peer_orders(head.orders.unwrap_or_default(), self.shared.clock.now());
        let mut rows = Vec::new();
        while (rows.len() as u64) < head.rows {
            match self.frame(rx, "rows").await? {
                ContentFrame::Rows(page) if !page.is_empty() => rows.extend(page),
                _ => return Err(FetchError::Unexpected("rows")),
            }
        }
        let counts = head.counts.unwrap_or_default().into_iter();
        let counts = counts.chain(std::iter::repeat(None));
        let rows = rows.into_iter().zip(counts).map(|(row, count)| CountedRow {
            count,
            ..row.into()
        });
        let servers = PeerContent {
            versions: StoreVersions {
                operators: 0,
                servers: head.versions.servers,
            },
            declarations: None,
            row: None,
            servers: rows.collect(),
            is_difference: head.is_difference,
            is_first: self.is_first,
        };
        self.apply(servers).await?;
        let declarations = match &head.declarations {
            Some(declarations) => Some(self.declarations(rx, declarations, partial).await?),
            None => None,
        };
        let row = head.declarations.and_then(|declarations| declarations.row);
        let operators = PeerContent {
            versions: StoreVersions {
                operators: head.versions.operators,
                servers: 0,
            },
            declarations,
            row,
            servers: Vec::new(),
            is_difference: true,
            is_first: self.is_first,
        };
        self.apply(operators).await
    }

    /// Receives what the peer knows beside the content of the store.
    async fn receive_news(&self, rx: &mut FrameReceiver) -> Result<(), FetchError> {
        match self.frame(rx, "limits").await? {
            ContentFrame::Limits(limits) => LimitNews::on_frame(self.shared, self.peer, limits),
            _ => return Err(FetchError::Unexpected("limits")),
        }
        match self.frame(rx, "crashes").await? {
            ContentFrame::Crashes(crashes) => CrashNews::on_frame(self.shared, self.peer, crashes),
            _ => return Err(FetchError::Unexpected("crashes")),
        }
        Ok(())
    }

    async fn declarations(
        &self,
        rx: &mut FrameReceiver,
        head: &DeclarationsHead,
        partial: &Mutex<PartialContent>,
    ) -> Result<Vec<u8>, FetchError> {
        let max_bytes = self.shared.max_declarations_bytes;
        let body = match head.form {
            DeclarationsForm::Whole { offset }
                if offset.saturating_add(head.bytes) > max_bytes as u64 =>
            {
                return Err(FetchError::TooLarge);
            }
            DeclarationsForm::Whole { offset } => {
                let part = lock(partial).take(head.digest, offset);
                let mut part = part.ok_or(FetchError::Damaged)?;
                let received = self.pieces(rx, head.bytes, &mut part.bytes).await;
                if let Err(err) = received {
                    lock(partial).keep(part);
                    return Err(err);
                }
                let is_whole = content_digest(&part.bytes) == head.digest;
                is_whole.then_some(part.bytes).ok_or(FetchError::Damaged)?
            }
            DeclarationsForm::Scripts => {
                let mut bytes = Vec::new();
                self.pieces(rx, head.bytes, &mut bytes).await?;
                self.build(&bytes, head.digest)?
            }
        };
        let (form, offset) = match head.form {
            DeclarationsForm::Whole { offset } => ("whole", offset),
            DeclarationsForm::Scripts => ("scripts", 0),
        };
        self.shared.metrics.content_bytes(form, head.bytes);
        info!(self.shared.log, "content: declarations received"; "peer" => self.peer, "form" => form,
            "received" => head.bytes, "offset" => offset, "bytes" => body.len());
        Ok(body)
    }

    async fn pieces(
        &self,
        rx: &mut FrameReceiver,
        length: u64,
        bytes: &mut Vec<u8>,
    ) -> Result<(), FetchError> {
        let end = bytes.len() as u64 + length;
        while (bytes.len() as u64) < end {
            match self.frame(rx, "declarations").await? {
                ContentFrame::Piece(piece) if !piece.is_empty() => bytes.extend(piece),
                ContentFrame::Busy => return Err(FetchError::Busy),
                _ => return Err(FetchError::Unexpected("declarations")),
            }
        }
        Ok(())
    }

    /// Builds declarations by scripts from the active ones, and keeps the scripts for peers.
    fn build(&self, scripts: &[u8], digest: ContentDigest) -> Result<Vec<u8>, FetchError> {
        let cache = &self.shared.store_cache;
        let scripts = decode_scripts(scripts).map_err(|_| FetchError::Damaged)?;
        let base = cache.declarations().ok_or(FetchError::Damaged)?;
        let mut body: Option<Vec<u8>> = None;
        for script in &scripts {
            let old = body.as_deref().unwrap_or(&base.body);
            body = Some(apply_script(old, script).ok_or(FetchError::Damaged)?);
        }
        let is_built = scripts.last().is_some_and(|script| script.to == digest);
        let body = body.filter(|_| is_built).ok_or(FetchError::Damaged)?;
        cache.on_scripts(scripts);
        Ok(body)
    }

    async fn fetch_in_one_frame(
        &self,
        link: &LinkEndpoint,
        address: SocketAddr,
        versions: StoreVersions,
    ) -> Result<(), FetchError> {
        let opening = StreamOpening::StoreSnapshot(versions);
        let (_tx, mut rx) = link.open(address, Role::Gateway, &opening).await?;
        let snapshot = timeout(self.limit, rx.receive::<StoreSnapshot>()).await;
        let snapshot = snapshot.map_err(|_| FetchError::TimedOut("snapshot"))??;
        let snapshot = snapshot.ok_or(FetchError::Ended("snapshot"))?;
        warn!(self.shared.log, "content: received in one frame, the peer is of an earlier build";
            "peer" => self.peer);
        self.apply(snapshot.into()).await
    }

    async fn apply(&self, content: PeerContent) -> Result<(), FetchError> {
        let now = self.shared.clock.now();
        let cache = &self.shared.store_cache;
        cache.merge_from_peer(self.peer, content, now).await?;
        self.shared.on_declarations_read();
        Ok(())
    }
}

fn lock(partial: &Mutex<PartialContent>) -> MutexGuard<'_, PartialContent> {
    partial.lock().unwrap_or_else(PoisonError::into_inner)
}
