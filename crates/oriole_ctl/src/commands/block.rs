//! `block` and `release`: blocks requests, and releases content digests from quarantine.

use oriole_catalog::edit::Edit;
use oriole_types::prelude::*;

use crate::args::{BlockArgs, BlockVerb, ReleaseArgs};
use crate::ctl::Ctl;
use crate::error::CtlError;
use crate::reply::Reply;

/// Adds or removes a block.
pub(crate) async fn block(ctl: &Ctl, args: &BlockArgs) -> Result<Reply, CtlError> {
    let catalog = ctl.catalog().await?;
    let edit = match args.verb {
        BlockVerb::Add => {
            let block = parse_block(args)?;
            Edit::from_fn(&catalog, |c| {
                c.blocks.insert(args.name.clone(), block);
            })
        }
        BlockVerb::Remove if !catalog.blocks.contains_key(&args.name) => {
            return Err(CtlError::NotFound {
                what: "block",
                name: args.name.clone(),
                known: catalog.blocks.keys().cloned().collect(),
            });
        }
        BlockVerb::Remove => Edit::from_fn(&catalog, |c| {
            c.blocks.remove(&args.name);
        }),
    };
    let message = match args.verb {
        BlockVerb::Add => format!("block {}: {}", args.name, args.reason),
        BlockVerb::Remove => format!("remove block {}", args.name),
    };
    ctl.change(&edit, &message, args.wait).await
}

fn parse_block(args: &BlockArgs) -> Result<Block, CtlError> {
    let key = args.key.as_deref().map(parse_digest).transpose()?;
    Ok(Block {
        account: args.account.as_deref().map(AccountName::new),
        entry: args.entry.as_deref().map(EntryName::new),
        key,
        reason: args.reason.clone(),
    })
}

/// Releases a content digest from quarantine.
pub(crate) async fn release(ctl: &Ctl, args: &ReleaseArgs) -> Result<Reply, CtlError> {
    let digest = parse_digest(&args.digest)?;
    let catalog = ctl.catalog().await?;
    let edit = Edit::from_fn(&catalog, |c| {
        if !c.released_digests.contains(&digest) {
            c.released_digests.push(digest);
        }
    });
    let message = if args.message.is_empty() {
        format!("release {:016x}", digest.prefix_u64())
    } else {
        args.message.clone()
    };
    ctl.change(&edit, &message, args.wait).await
}

fn parse_digest(text: &str) -> Result<Digest, CtlError> {
    text.parse()
        .map_err(|e| CtlError::Argument(format!("not a digest: {e}")))
}
